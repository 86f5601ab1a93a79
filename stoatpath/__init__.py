"""A model-aware router for versions and cascades."""

VERSION = "0.1.0"
