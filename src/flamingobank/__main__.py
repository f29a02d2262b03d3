"""Run the command line with ``python -m flamingobank``."""

from flamingobank.cli import run

if __name__ == "__main__":
    run()
