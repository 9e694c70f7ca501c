"""The GA4GH task execution API (TES 1.1) on the same core; loaded only where it is asked for."""
