"""Days of our own for the bench, and what its entries say was lost where (docs/almanac.md)."""
