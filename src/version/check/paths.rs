//! Matching of path prefixes.

/// Whether a prefix covers a path, segment by segment: `/a` covers `/a` and `/a/b`, not `/ab`.
pub fn covers(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}

/// Whether both prefixes cover some path in common.
pub fn overlap(left: &str, right: &str) -> bool {
    covers(left, right) || covers(right, left)
}
