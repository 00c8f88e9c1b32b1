"""Run one host on the platform."""

from .main import main

main()
