"""Roll-outs of versions and releases: advances, evaluates and suspends them."""
