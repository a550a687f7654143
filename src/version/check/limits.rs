//! Limits on the text of a document, an overlay or a settings file.

/// 12,000 targets in 970 services take about 1.1 MB without comments.
pub const MAX_TEXT_BYTES: usize = 2 * 1024 * 1024;
/// Maximum nesting of objects and arrays; a document needs 6. The parser recurses, so the depth is
/// checked before it runs.
pub const MAX_NESTING_DEPTH: usize = 16;
/// Maximum number of problems reported for one text.
pub const MAX_PROBLEMS: usize = 1000;
pub const MAX_NAME_CHARS: usize = 64;
pub const MAX_PREFIX_CHARS: usize = 256;
