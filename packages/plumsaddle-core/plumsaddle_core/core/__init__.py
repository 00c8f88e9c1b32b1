"""Data types shared by the other packages."""
