//! Reloads the settings while the gateway runs.

use std::time::SystemTime;

use super::settings::GatewaySettings;
use super::Gateway;
use crate::prelude::*;
use crate::process::shutdown::ReloadSignals;

/// Interval at which the settings file is checked for changes.
const FILE_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the settings on SIGHUP and when the modification time of the file changes.
pub async fn watch(gateway: Rc<Gateway>, path: String, mut hangups: ReloadSignals) {
    let mut last_modified = modification_time(&path);
    loop {
        let is_hangup = monoio::select! {
            () = hangups.received() => true,
            () = monoio::time::sleep(FILE_POLL_INTERVAL) => false,
        };
        let modified_at = modification_time(&path);
        if is_hangup || modified_at != last_modified {
            last_modified = modified_at;
            reload(&gateway, &path);
        }
    }
}

fn modification_time(path: &str) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}

fn reload(gateway: &Gateway, path: &str) {
    let loaded = gateway.settings.borrow().load_successor(path);
    match loaded {
        Ok(usable) => apply(gateway, usable.log_problems()),
        Err(error) => log::error!(error:% = error; "invalid settings, keeping the current ones"),
    }
}

/// Applies the settings that can change at run time. All others, such as listeners and names, take
/// effect at the next start.
pub fn apply(gateway: &Gateway, new: GatewaySettings) {
    let mut settings = gateway.settings.borrow_mut();
    gateway.retries.borrow_mut().set_limits(new.retry_ratio, new.retry_slack, new.retry_window());
    let is_unchanged = *settings == new;
    settings.retry_ratio = new.retry_ratio;
    settings.retry_slack = new.retry_slack;
    settings.retry_window_ms = new.retry_window_ms;
    settings.probes = new.probes;
    settings.grace_ms = new.grace_ms;
    let needs_restart = *settings != new;
    log::info!(changed = !is_unchanged, needs_restart; "settings reloaded");
}
