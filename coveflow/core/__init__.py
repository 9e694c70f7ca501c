"""Pure decisions and state machines: no clock, no input or output."""
