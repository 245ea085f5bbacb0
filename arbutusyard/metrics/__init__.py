"""Record and export metrics with bounded sets of labels."""
