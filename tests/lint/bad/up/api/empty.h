// Nothing.
