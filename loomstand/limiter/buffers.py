"""Byte ring buffers that grow within a shared memory budget."""

from __future__ import annotations

INITIAL_RING_BYTES = 2048  # fits a typical request head or small response without growing


class MemoryBudget:
    """Memory budget in bytes, shared by all ring buffers and request bodies of a limiter."""

    def __init__(self, total: int) -> None:
        self.available = total

    def reserve(self, size: int) -> bool:
        """Reserves `size` bytes; returns False, with no effect, if fewer are available."""
        if size > self.available:
            return False
        self.available -= size
        return True

    def release(self, size: int) -> None:
        """Returns `size` reserved bytes to the budget."""
        self.available += size


class Ring:
    """FIFO ring buffer of bytes that grows up to `max_size` bytes, within the memory budget."""

    __slots__ = ("buf", "head", "max_size", "memory_budget", "size", "used")

    def __init__(self, memory_budget: MemoryBudget, max_size: int) -> None:
        self.buf, self.size = bytearray(), 0
        self.head = self.used = 0
        self.memory_budget, self.max_size = memory_budget, max_size

    def __len__(self) -> int:
        return self.used

    def grow(self, needed: int) -> bool:
        """Grows the buffer to hold `needed` bytes in total; returns False if a limit forbids it."""
        if needed <= self.size:
            return True
        size = min(self.max_size, max(INITIAL_RING_BYTES, 1 << (needed - 1).bit_length()))
        if size < needed or not self.memory_budget.reserve(size - self.size):
            return False
        data = self.peek()
        self.buf = bytearray(size)
        self.buf[: len(data)] = data
        self.head, self.size = 0, size
        return True

    def space(self) -> memoryview:
        """Returns the next contiguous free range; empty if the buffer is full and can't grow.

        The caller writes into it and reports the number of bytes with `wrote`.
        """
        if self.used == self.size and not self.grow(self.size + 1):
            return memoryview(b"")
        tail = self.head + self.used
        if tail >= self.size:
            return memoryview(self.buf)[tail - self.size : self.head]
        return memoryview(self.buf)[tail:]

    def wrote(self, n: int) -> None:
        """Appends the first `n` bytes of the range that `space` returned."""
        self.used += n

    def put(self, data: bytes) -> bool:
        """Appends all of `data`; returns False, with nothing appended, if it doesn't fit."""
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
        """Returns a copy of the first `n` bytes, or of all if there are fewer or `n` is -1."""
        n = self.used if n < 0 else min(n, self.used)
        end = self.head + n
        if end <= self.size:
            return bytes(self.buf[self.head : end])
        return bytes(self.buf[self.head :] + self.buf[: end - self.size])

    def skip(self, n: int) -> None:
        """Removes the first `n` bytes; an empty buffer that has grown releases its memory."""
        self.used -= n
        if self.used:
            self.head = (self.head + n) % self.size
        elif self.size > INITIAL_RING_BYTES:
            self.close()
        else:
            self.head = 0

    def take(self, n: int) -> bytes:
        """Removes and returns the first `n` bytes, or all if there are fewer."""
        # Fast path for the usual case: one whole message in a contiguous range.
        if n == self.used <= self.size - self.head and self.size <= INITIAL_RING_BYTES:
            data = bytes(self.buf[self.head : self.head + n])
            self.head = self.used = 0
            return data
        data = self.peek(n)
        self.skip(len(data))
        return data

    def find(self, pattern: bytes, start: int = 0) -> int:
        """Returns the offset of the first `pattern` from offset `start` on; -1 if there is none."""
        if self.head + self.used > self.size:
            data = self.peek()
            self.buf[: len(data)] = data
            self.head = 0
        index = self.buf.find(pattern, self.head + start, self.head + self.used)
        return index - self.head if index >= 0 else -1

    def close(self) -> None:
        """Discards the content and returns the memory to the budget."""
        self.memory_budget.release(self.size)
        self.buf, self.size, self.head, self.used = bytearray(), 0, 0, 0
