"""Makes the stand-ins beside the tests and the adapter importable."""

import sys
from pathlib import Path

HERE = Path(__file__).parent

sys.path.insert(0, str(HERE))
sys.path.insert(1, str(HERE.parents[2] / 'platform'))
