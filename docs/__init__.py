"""Programs that write pages of the docs."""
