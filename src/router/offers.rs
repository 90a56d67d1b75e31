use {
    super::sidecar_view::SidecarView,
    crate::policy::WaitingRequest,
    std::{collections::HashMap, sync::Arc},
};

/// Chooses a sidecar with a free slot for a request that nobody waits before:
/// the one that served its prompt prefix last, or one of the emptiest.
pub fn offer_host(
    sidecars: &HashMap<Arc<str>, SidecarView>,
    request: &WaitingRequest,
    cached: Option<&Arc<str>>,
) -> Option<Arc<str>> {
    let room = |host: &Arc<str>| sidecars.get(host).map_or(0, SidecarView::room);
    let is_open = |host: &&Arc<str>| room(host) > 0;
    if let Some(host) = cached.filter(is_open)
        && request.hosts.binary_search(host).is_ok()
    {
        return Some(host.clone());
    }
    let most = request.hosts.iter().filter(is_open).map(room).max()?;
    let emptiest: Vec<&Arc<str>> = request
        .hosts
        .iter()
        .filter(is_open)
        .filter(|host| room(host) == most)
        .collect();
    // Requests are numbered, so successive ones go round the emptiest.
    let turn = request.id as usize % emptiest.len();
    Some(emptiest[turn].clone())
}
