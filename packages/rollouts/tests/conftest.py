"""Makes the stand-ins of the tests and the platform adapter importable."""

import sys
from pathlib import Path

HERE = Path(__file__).parent

sys.path.insert(0, str(HERE))
sys.path.insert(1, str(HERE.parents[2] / 'platform'))
