"""A soak of real router processes under faults that are drawn from a seed and checked from the outside."""
