"""A ring buffer of bytes that grows within a common allowance."""

from __future__ import annotations

FIRST = 2048  # holds a req's head, or an answer to one, without growing


class Room:
    """The memory that all rings and held bodies of a limiter may take together."""

    def __init__(self, total: int) -> None:
        self.left = total

    def take(self, size: int) -> bool:
        if size > self.left:
            return False
        self.left -= size
        return True

    def give(self, size: int) -> None:
        self.left += size


class Ring:
    """Bytes in order; `most` bounds its size."""

    __slots__ = ("buf", "head", "most", "room", "size", "used")

    def __init__(self, room: Room, most: int) -> None:
        self.buf, self.size = bytearray(), 0
        self.head = self.used = 0
        self.room, self.most = room, most

    def __len__(self) -> int:
        return self.used

    def grow(self, want: int) -> bool:
        """Room for `want` bytes in all, if the bound and the allowance permit."""
        if want <= self.size:
            return True
        size = min(self.most, max(FIRST, 1 << (want - 1).bit_length()))
        if size < want or not self.room.take(size - self.size):
            return False
        data = self.peek()
        self.buf = bytearray(size)
        self.buf[: len(data)] = data
        self.head, self.size = 0, size
        return True

    def space(self) -> memoryview:
        """The next free stretch to write into; empty when full. `wrote` says how much of it was
        used.
        """
        if self.used == self.size and not self.grow(self.size + 1):
            return memoryview(b"")
        tail = self.head + self.used
        if tail >= self.size:
            return memoryview(self.buf)[tail - self.size : self.head]
        return memoryview(self.buf)[tail:]

    def wrote(self, n: int) -> None:
        self.used += n

    def put(self, data: bytes) -> bool:
        """Appends all of `data`, or nothing."""
        n = len(data)
        if not self.grow(self.used + n):
            return False
        tail = (self.head + self.used) % self.size if self.size else 0
        first = min(n, self.size - tail)
        self.buf[tail : tail + first] = data[:first]
        if first < n:
            self.buf[: n - first] = data[first:]
        self.used += n
        return True

    def peek(self, n: int = -1) -> bytes:
        """A copy of the first `n` bytes (all, if fewer or -1)."""
        n = self.used if n < 0 else min(n, self.used)
        end = self.head + n
        if end <= self.size:
            return bytes(self.buf[self.head : end])
        return bytes(self.buf[self.head :] + self.buf[: end - self.size])

    def skip(self, n: int) -> None:
        self.used -= n
        if self.used:
            self.head = (self.head + n) % self.size
        elif self.size > FIRST:
            self.close()
        else:
            self.head = 0

    def take(self, n: int) -> bytes:
        # as usual: a whole message
        if n == self.used <= self.size - self.head and self.size <= FIRST:
            data = bytes(self.buf[self.head : self.head + n])
            self.head = self.used = 0
            return data
        data = self.peek(n)
        self.skip(len(data))
        return data

    def find(self, what: bytes, start: int = 0) -> int:
        """Where `what` begins at or after `start`, from the first byte; -1 if it isn't there."""
        if self.head + self.used > self.size:
            data = self.peek()
            self.buf[: len(data)] = data
            self.head = 0
        at = self.buf.find(what, self.head + start, self.head + self.used)
        return at - self.head if at >= 0 else -1

    def close(self) -> None:
        """Gives its memory back; the ring is empty then."""
        self.room.give(self.size)
        self.buf, self.size, self.head, self.used = bytearray(), 0, 0, 0
