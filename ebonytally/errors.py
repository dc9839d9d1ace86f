"""Exceptions of the package; all derive from `EbonytallyError`."""

import attrs


@attrs.define(eq=False)
class EbonytallyError(Exception):
    """A failure, with the failing step and the peer involved.

    :param step: what was being done, as a short verb phrase
    :param peer: peer, file or field involved, "" for none
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
    """Received bytes can't be decoded or authenticated."""


class StorageError(EbonytallyError):
    """The data folder can't be opened, read, written or locked."""


class DamagedLogError(StorageError):
    """A record before the end of the log fails its checksum."""


class IntentError(EbonytallyError):
    """An intent or confirmation is refused."""


@attrs.define(eq=False)
class SettingsError(EbonytallyError):
    """A settings file has errors; the exception lists all of them.

    :param faults: one line each, ``file: key.path: error, allowed values``
    """

    faults: tuple[str, ...] = ()

    def __str__(self) -> str:
        """Return all faults, one per line."""
        return "\n".join(self.faults) or super().__str__()
