"""The decision module: pure, told events, answers with actions, in whole microseconds."""
