"""The latest revisions of the view, to catch up VMs that are behind."""

import collections
import zlib

from ebonytally import config
from ebonytally.dissemination import dissemination_messages as messages
from ebonytally import view
from ebonytally import wire

TAIL_REVISIONS = 1000
MAX_BATCH_BYTES = 48_000
MAX_VIEW_BYTES = 64 * 1024 * 1024


class History:
    """The current view and the commands of its latest revisions."""

    def __init__(self, initial_view: view.View) -> None:
        """Set up with a view and without commands."""
        self.view = initial_view
        self._commands: collections.deque[bytes] = collections.deque(
            maxlen=TAIL_REVISIONS,
        )

    def append(self, revision: int, packed: bytes) -> bool:
        """Apply a command; return False if it isn't the next revision."""
        if revision != self.view.revision + 1:
            return False
        command = wire.unpack_message(packed)
        self.view = config.apply(self.view, command)
        self._commands.append(packed)
        return True

    def replace_view(self, new_view: view.View) -> bool:
        """Replace the view; return False if the new one isn't newer."""
        if new_view.revision <= self.view.revision:
            return False
        self.view = new_view
        self._commands.clear()
        return True

    def changes_after(
        self,
        revision: int,
    ) -> messages.Entries | messages.WholeView | None:
        """Return commands after `revision`, or the view if compacted.

        :returns: a bounded batch, the whole view, None if up to date
        """
        behind = self.view.revision - revision
        if behind <= 0:
            return None
        if behind > len(self._commands):
            return self.whole_view()
        batch: list[bytes] = []
        size = 0
        start = len(self._commands) - behind
        for index in range(start, len(self._commands)):
            packed = self._commands[index]
            size += len(packed)
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(packed)
        return messages.Entries(revision + 1, tuple(batch))

    def whole_view(self) -> messages.WholeView:
        """Return the whole view, compressed."""
        data = zlib.compress(wire.pack(self.view))
        return messages.WholeView(self.view.revision, data)


def unpack_whole_view(msg: messages.WholeView) -> view.View:
    """Return the view in a message or a stored file.

    :raises WireError: if the view can't be decoded
    :raises zlib.error: if the compressed data is damaged
    """
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(msg.data, MAX_VIEW_BYTES)
    return wire.unpack(data, view.View)
