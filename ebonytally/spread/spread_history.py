"""The latest revisions of the view, for those that fell behind."""

import collections
import zlib

from ebonytally import config
from ebonytally.spread import spread_messages as messages
from ebonytally import view
from ebonytally import wire

TAIL_REVISIONS = 1000
MAX_BATCH_BYTES = 48_000
MAX_VIEW_BYTES = 64 * 1024 * 1024


class History:
    """The present view and the commands that led to it."""

    def __init__(self, first: view.View) -> None:
        """Start from a view without a tail."""
        self.view = first
        self._tail: collections.deque[bytes] = collections.deque(
            maxlen=TAIL_REVISIONS,
        )

    def append(self, revision: int, packed: bytes) -> bool:
        """Apply the next command; False when it isn't the next one."""
        if revision != self.view.revision + 1:
            return False
        command = wire.unpack_message(packed)
        self.view = config.apply(self.view, command)
        self._tail.append(packed)
        return True

    def adopt(self, new: view.View) -> bool:
        """Take a whole newer view; False when it isn't newer."""
        if new.revision <= self.view.revision:
            return False
        self.view = new
        self._tail.clear()
        return True

    def after(
        self,
        revision: int,
    ) -> messages.Entries | messages.WholeView | None:
        """Return what follows `revision`, bounded; None when nothing."""
        missing = self.view.revision - revision
        if missing <= 0:
            return None
        if missing > len(self._tail):
            return self.whole()
        batch: list[bytes] = []
        size = 0
        start = len(self._tail) - missing
        for index in range(start, len(self._tail)):
            packed = self._tail[index]
            size += len(packed)
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(packed)
        return messages.Entries(revision + 1, tuple(batch))

    def whole(self) -> messages.WholeView:
        """Return the whole view, compressed."""
        data = zlib.compress(wire.pack(self.view))
        return messages.WholeView(self.view.revision, data)


def open_whole(msg: messages.WholeView) -> view.View:
    """Return the view in a message or a file.

    :raises WireError: when it is damaged
    :raises zlib.error: when it is damaged
    """
    opener = zlib.decompressobj()
    data = opener.decompress(msg.data, MAX_VIEW_BYTES)
    return wire.unpack(data, view.View)
