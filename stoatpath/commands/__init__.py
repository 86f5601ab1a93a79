"""What operators do from the command line."""
