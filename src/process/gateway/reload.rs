//! Takes over changed settings while the gateway runs.

use std::time::SystemTime;

use super::settings::GatewaySettings;
use super::Gateway;
use crate::prelude::*;
use crate::process::shutdown::ReloadSignals;

/// Time between two looks whether the settings file has changed.
const LOOK: Duration = Duration::from_secs(2);

/// Reads the settings again after a signal and after a change of the file.
pub async fn watch(gateway: Rc<Gateway>, path: String, mut hangups: ReloadSignals) {
    let mut seen = modified(&path);
    loop {
        let is_signal = monoio::select! {
            () = hangups.received() => true,
            () = monoio::time::sleep(LOOK) => false,
        };
        let found = modified(&path);
        if is_signal || found != seen {
            seen = found;
            reload(&gateway, &path);
        }
    }
}

fn modified(path: &str) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}

fn reload(gateway: &Gateway, path: &str) {
    match GatewaySettings::load(path) {
        Ok(settings) => apply(gateway, settings),
        Err(error) => log::error!(error:% = error; "settings refused, the old ones stay in force"),
    }
}

/// Takes over what can change in a running process; listeners and names stay.
pub fn apply(gateway: &Gateway, new: GatewaySettings) {
    let mut settings = gateway.settings.borrow_mut();
    gateway.retries.borrow_mut().set_limits(new.retry_ratio, new.retry_slack, new.retry_window());
    let is_same = *settings == new;
    settings.retry_ratio = new.retry_ratio;
    settings.retry_slack = new.retry_slack;
    settings.retry_window_ms = new.retry_window_ms;
    settings.probes = new.probes;
    settings.grace_ms = new.grace_ms;
    let needs_restart = *settings != new;
    log::info!(changed = !is_same, needs_restart; "settings reloaded");
}
