"""The commands of `stoatpathctl`."""
