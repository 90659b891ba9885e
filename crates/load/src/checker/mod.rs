//! Judging histories.
