"""Know the software version that began a stream, so that it goes on only there."""
