//! A load tool.
