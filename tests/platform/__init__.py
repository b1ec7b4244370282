"""Tests of the platform's dialect; its folder is a script folder, no package."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).parent.parent.parent
sys.path.append(str(ROOT / "platform"))
