"""Steps, judges and suspends roll-outs of versions."""
