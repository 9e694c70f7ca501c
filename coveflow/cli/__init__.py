"""The operator's toolbox: one command with sub-commands that load only what they need."""
