"""State machine of the log: configuration and data centres taken out."""

import attrs

from ebonytally.configuration import model
from ebonytally import wire


@wire.message(601)
@attrs.frozen
class DataCentreSet:
    """Take a data centre out, or back."""

    name: str
    out: bool


@wire.message(602)
@attrs.frozen
class Held:
    """Result of a command: what is in force afterwards.

    :param version: of the configuration, 0 for none
    :param changed: the command changed something
    """

    version: int
    changed: bool


@attrs.frozen
class State:
    """All replicated state.

    :param out: data centres taken out
    :param out_revision: counts the changes of `out`
    """

    configuration: model.Configuration | None = None
    out: tuple[str, ...] = ()
    out_revision: int = 0

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        held = self.configuration
        return held.version if held is not None else 0


class Machine:
    """A `ports.StateMachine`; the highest version is in force."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.state = State()

    def apply(self, command: object) -> object:
        """Apply one committed command and return its result.

        :raises TypeError: when the command isn't known
        """
        before = self.state
        match command:
            case model.Configuration():
                self._replace(command)
            case DataCentreSet():
                self._set_data_centre(command)
            case _:
                raise TypeError(f"unknown command {type(command).__name__}")
        return Held(self.state.version, self.state is not before)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return wire.pack(self.state)

    def restore(self, data: bytes) -> None:
        """Replace the state by what `snapshot` returned.

        :raises WireError: when the bytes are no such state
        """
        self.state = wire.unpack(data, State)

    def _replace(self, new: model.Configuration) -> None:
        if new.version > self.state.version:
            self.state = attrs.evolve(self.state, configuration=new)

    def _set_data_centre(self, command: DataCentreSet) -> None:
        out = set(self.state.out) - {command.name}
        if command.out:
            out.add(command.name)
        if out != set(self.state.out):
            self.state = attrs.evolve(
                self.state,
                out=tuple(sorted(out)),
                out_revision=self.state.out_revision + 1,
            )
