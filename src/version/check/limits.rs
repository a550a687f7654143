//! Limits on the text of a document or a settings file.

/// Largest text in bytes; 12,000 targets in 970 services take about 1.1 MB without comments.
pub const MAX_BYTES: usize = 2 * 1024 * 1024;
/// Deepest nesting of objects and lists; a document needs 6. The parser recurses, so the depth
/// is checked before it runs.
pub const MAX_DEPTH: usize = 16;
/// Most problems that are reported for one text.
pub const MAX_PROBLEMS: usize = 1000;
/// Most characters of a name.
pub const MAX_NAME: usize = 64;
/// Most characters of a path prefix.
pub const MAX_PREFIX: usize = 256;
