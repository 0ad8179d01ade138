"""Build berylhollow as one program file that runs as one process."""
