//! Path prefixes of calls.

/// Whether a prefix covers a path, segment by segment: `/a` covers `/a` and `/a/b`, not `/ab`.
pub fn covers(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}

/// Whether some path is covered by both prefixes.
pub fn overlap(one: &str, other: &str) -> bool {
    covers(one, other) || covers(other, one)
}
