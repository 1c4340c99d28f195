"""Makes the helper modules of these tests importable."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
