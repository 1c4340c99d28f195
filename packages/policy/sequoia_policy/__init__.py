"""Decision logic of sequoiashed, without sockets, event loop or real clock."""
