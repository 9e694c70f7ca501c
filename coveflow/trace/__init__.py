"""The leader's events on disk: followed, written so that a kill loses nothing, read and checked."""
