//! The load tool.

/// Runs the load tool.
pub fn run() -> eyre::Result<()> {
    eyre::bail!("the load tool has no traces yet")
}
