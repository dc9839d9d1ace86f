"""All exceptions that the package raises, in one narrow family."""

import attrs


@attrs.define(eq=False)
class EbonytallyError(Exception):
    """A failure, with the step and the peer at which it arose.

    :param step: what was being done, as a short verb phrase
    :param peer: name or address of the other side, "" for none
    :param detail: what went wrong
    """

    step: str
    peer: str
    detail: str

    def __str__(self) -> str:
        """Return the error as one line."""
        at = f" ({self.peer})" if self.peer else ""
        return f"{self.step}{at}: {self.detail}"


class WireError(EbonytallyError):
    """A frame that can't be read or isn't authentic."""


class StorageError(EbonytallyError):
    """The data folder can't be read or written."""


class DamagedLogError(StorageError):
    """A record in the middle of the log fails its checksum."""


class IntentError(EbonytallyError):
    """An intent or confirmation that is refused."""


@attrs.define(eq=False)
class SettingsError(EbonytallyError):
    """A settings file with faults; all of them are listed.

    :param faults: one line each, ``file: key.path: wrong, allowed``
    """

    faults: tuple[str, ...] = ()

    def __str__(self) -> str:
        """Return all faults, a line each."""
        return "\n".join(self.faults) or super().__str__()
