# Creates the checkout's virtual environment and puts it first on PATH.
# Installs the locked requirements again whenever they change.
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
venv="$root/.venv"
lock="$root/requirements-dev.lock"
stamp="$venv/.requirements"
if ! cmp -s "$lock" "$stamp" 2>/dev/null; then
  echo "preparing the virtual environment" >&2
  [ -x "$venv/bin/python" ] || python3 -m venv "$venv"
  "$venv/bin/pip" install -q --disable-pip-version-check -r "$lock" \
    >"$venv/install.log" 2>&1 || {
    cat "$venv/install.log" >&2
    exit 1
  }
  cp "$lock" "$stamp"
fi
export PATH="$venv/bin:$PATH"
export PYTHONPATH="$root"
export PYTHONHASHSEED=0
