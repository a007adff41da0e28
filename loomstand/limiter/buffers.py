"""Byte ring buffers that grow within a shared memory budget."""

from __future__ import annotations

INITIAL_RING_BYTES = 2048  # fits a typical request head or small response without growing


class MemoryBudget:
    """Memory budget in bytes, shared by the buffers of many connections.

    Attributes:
        available: Number of bytes that are not reserved.
    """

    def __init__(self, total_bytes: int) -> None:
        self.available = total_bytes

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
    """FIFO ring buffer of bytes that grows up to `max_size` bytes, within the memory budget.

    Attributes:
        memory_budget: The budget from which its memory is reserved.
        max_size: Maximum size in bytes.
        buffer: The allocated memory.
        size: Size of the allocated memory in bytes.
        head: Index of the first stored byte in `buffer`.
        used: Number of stored bytes.
    """

    __slots__ = ("buffer", "head", "max_size", "memory_budget", "size", "used")

    def __init__(self, memory_budget: MemoryBudget, max_size: int) -> None:
        self.buffer, self.size = bytearray(), 0
        self.head = self.used = 0
        self.memory_budget, self.max_size = memory_budget, max_size

    def __len__(self) -> int:
        return self.used

    def grow(self, needed: int) -> bool:
        """Grows the buffer to hold `needed` bytes in total.

        Returns False if `max_size` or the memory budget forbids it.
        """
        if needed <= self.size:
            return True
        size = min(self.max_size, max(INITIAL_RING_BYTES, 1 << (needed - 1).bit_length()))
        if size < needed or not self.memory_budget.reserve(size - self.size):
            return False
        data = self.peek()
        self.buffer = bytearray(size)
        self.buffer[: len(data)] = data
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
            return memoryview(self.buffer)[tail - self.size : self.head]
        return memoryview(self.buffer)[tail:]

    def wrote(self, count: int) -> None:
        """Appends the first `count` bytes of the range that `space` returned."""
        self.used += count

    def put(self, data: bytes) -> bool:
        """Appends all of `data`; returns False, with nothing appended, if it doesn't fit."""
        length = len(data)
        if not self.grow(self.used + length):
            return False
        tail = (self.head + self.used) % self.size if self.size else 0
        until_end = min(length, self.size - tail)
        self.buffer[tail : tail + until_end] = data[:until_end]
        if until_end < length:
            self.buffer[: length - until_end] = data[until_end:]
        self.used += length
        return True

    def peek(self, count: int = -1) -> bytes:
        """Returns a copy of the first `count` bytes, or of all if there are fewer or it is -1."""
        count = self.used if count < 0 else min(count, self.used)
        end = self.head + count
        if end <= self.size:
            return bytes(self.buffer[self.head : end])
        return bytes(self.buffer[self.head :] + self.buffer[: end - self.size])

    def skip(self, count: int) -> None:
        """Removes the first `count` bytes; an empty buffer that has grown releases its memory."""
        self.used -= count
        if self.used:
            self.head = (self.head + count) % self.size
        elif self.size > INITIAL_RING_BYTES:
            self.close()
        else:
            self.head = 0

    def take(self, count: int) -> bytes:
        """Removes and returns the first `count` bytes, or all if there are fewer."""
        # Fast path for the usual case: one whole message in a contiguous range.
        if count == self.used <= self.size - self.head and self.size <= INITIAL_RING_BYTES:
            data = bytes(self.buffer[self.head : self.head + count])
            self.head = self.used = 0
            return data
        data = self.peek(count)
        self.skip(len(data))
        return data

    def find(self, pattern: bytes, start: int = 0) -> int:
        """Returns the offset of the first `pattern` from offset `start` on; -1 if there is none."""
        if self.head + self.used > self.size:  # wrapped around: makes the bytes contiguous
            data = self.peek()
            self.buffer[: len(data)] = data
            self.head = 0
        index = self.buffer.find(pattern, self.head + start, self.head + self.used)
        return index - self.head if index >= 0 else -1

    def close(self) -> None:
        """Discards the content and returns the memory to the budget."""
        self.memory_budget.release(self.size)
        self.buffer, self.size, self.head, self.used = bytearray(), 0, 0, 0
