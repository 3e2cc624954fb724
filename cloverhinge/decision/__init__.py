"""The decision module: takes events and returns actions without any I/O, in whole microseconds."""
