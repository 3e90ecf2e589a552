"""Runs the case.py that is named; an error in it exits with 2, as a case that couldn't run. Its own end is finish() in fleet_2.py."""
import runpy
import sys
import traceback

try:
    runpy.run_path(sys.argv[1], run_name="__main__")
except Exception:
    traceback.print_exc()
    sys.exit(2)
