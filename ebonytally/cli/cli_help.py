"""Help pages of the command line, each at most one screen long."""

_OPERATORS = """
Options of all commands that talk to the system:
  --at HOST[:PORT],...   entry VMs to ask, tried in order
                         (else the variable EBONYTALLY_ADDRESS)
  --token TOKEN          your operator's token
                         (else the variable EBONYTALLY_TOKEN)
  --json                 answer in JSON
Exit status: 0 done, 1 refused, 2 bad usage or settings.
"""

_INTENT = """
Nothing changes yet: the answer is a plan. Read it, then
  ebonytally plan confirm ID
  --id ID                your own id for this intent; if there is no answer,
                         run it again with the same id: it is done only once
"""

_TOP = """
ebonytally: load balancer. On duty? Start with: ebonytally status

What an operator does:
  status                     state of the system and what to do next
  datacentre out NAME        plan to take a data centre out
  datacentre back NAME       plan to bring it back
  service create|change|remove|list
  vm add|replace|retire      entry and control VMs
  explain CALLER ROUTE       where a new flow would go now, and why
  plan list|show|confirm|discard
Commands that run on a VM:
  run SETTINGS               run the daemon until SIGTERM
  check SETTINGS             list every fault of a settings file
  repair SETTINGS            empty the damaged data folder of one control VM
  recover SETTINGS           after the permanent loss of most control VMs
  version
Each command has a help page: ebonytally datacentre --help
"""

_PAGES = {
    "": _TOP + _OPERATORS,
    "status": """
ebonytally status

Shows in ten lines what works, what doesn't, which VMs aren't heard from,
which plans are open and what to do next. Changes nothing. Ask another VM
(--at) when the first one reports that it is cut off.
"""
    + _OPERATORS,
    "datacentre": """
ebonytally datacentre out NAME     take a data centre out
ebonytally datacentre back NAME    bring it back

"out": no packet and no request goes to its upstreams any more, a few
seconds after the plan is confirmed. Flows that are open there end.
"back": new flows and requests go there again, gradually.
"""
    + _INTENT
    + _OPERATORS,
    "service": """
ebonytally service list
ebonytally service create NAME --address IP --port N
    --data-centres A,B,...  [--protocol tcp|udp] [--max-connections N]
    [--max-queue N] [--max-request-bytes N] [--slots N]
ebonytally service change NAME [--data-centres A,B,...]
    [--max-connections N] [--max-queue N] [--max-request-bytes N]
ebonytally service remove NAME

--address, --port      where callers reach the service
--data-centres         all data centres that serve it
--max-connections      open flows for each upstream (2000)
--max-queue            requests that may wait at each entry VM (64)
--max-request-bytes    largest request (4194304)
--slots                slots of its table, a power of two, fixed (1024)
"""
    + _INTENT
    + _OPERATORS,
    "vm": """
ebonytally vm add NAME --address IP --data-centre D --region R [--control]
ebonytally vm replace NAME --address IP
ebonytally vm retire NAME

"add" adds a new entry VM, with --control a control VM, which also votes.
"replace" puts another machine in the place of a lost one; never switch
the lost one on again. "retire" removes a VM permanently.
"""
    + _INTENT
    + _OPERATORS,
    "plan": """
ebonytally plan list          open plans
ebonytally plan show ID       what it would change
ebonytally plan confirm ID    apply it
ebonytally plan discard ID    close it without applying it

A plan is refused when the configuration has changed since it was made;
a new plan is shown instead. Read that one before you confirm it.
  --id ID                your own id; the same id gets the same answer
"""
    + _OPERATORS,
    "explain": """
ebonytally explain --at HOST[:PORT] CALLER ROUTE [--json]

Asks one entry VM of the entry role where it would send a new flow now, and
why: candidates, what leaves others out, admission, the share that leaves its
data centre. Nothing is sent to an upstream, and nothing changes. Another
VM may decide otherwise: ask one in the data centre that the caller uses.
  CALLER, ROUTE          IPv4 address and port, as in 100.65.0.4:1034
  --at HOST[:PORT]       the VM's metrics port (9464), which it opens 4 s
                         after its start; no token is needed
  --json                 answer in JSON
Exit status: 0 chosen, 1 refused, 2 bad usage or no answer.
""",
    "run": """
ebonytally run SETTINGS

Runs the daemon with the settings file until SIGTERM, which ends it without
cutting off a request. A second SIGTERM ends it at once. The log goes to
standard output, one line of JSON for each event.
Exit status: 0 stopped, 1 failed, 2 bad settings.
""",
    "check": """
ebonytally check SETTINGS

Lists every fault of the settings file, one per line. Starts nothing.
Exit status: 0 no fault, 2 faults.
""",
    "repair": """
ebonytally repair SETTINGS [--yes]

For one control VM whose daemon reports that its log is damaged, or that
was told to take no part. Run it on that VM with the daemon stopped, while
a majority of the other control VMs runs. Its data is set aside (old files
stay in the folder, renamed to "damaged-..."), and the VM fetches all data
from the others.
Without --yes it only shows what the folder contains.
Exit status: 0 done, 1 not done, 2 bad usage or settings.
""",
    "recover": """
ebonytally recover SETTINGS [--yes]

For the permanent loss of a majority of the control VMs. Stop the remaining
ones. Run this without --yes on each VM that has a copy, compare, and choose
the newest: highest generation, then term, then entry. Run it there with
--yes: that VM decides alone from then on. It lists what may be missing.
Repair the other control VMs afterwards. See docs/OPERATING.md first.
Exit status: 0 done, 1 not done, 2 bad usage or settings.
""",
    "version": """
ebonytally version

Shows the version.
""",
}


def page(words: list[str]) -> str:
    """Return the help page for the command in `words`."""
    topic = words[0] if words else ""
    return _PAGES.get(topic, _PAGES[""]).strip("\n")


def is_topic(word: str) -> bool:
    """Return whether a command of that name exists."""
    return bool(word) and word in _PAGES
