"""What every part of the host process uses: settings, supervision, metrics."""
