use {
    super::sidecar_view::SidecarView,
    crate::policy::WaitingRequest,
    std::{collections::HashMap, sync::Arc},
};

/// Chooses a sidecar for an offer, that is, a request that is sent without a grant: the
/// sidecar that last served the request's prompt prefix if it has a free slot, otherwise
/// one of those with the most free slots.
pub fn choose_offer_host(
    sidecars: &HashMap<Arc<str>, SidecarView>,
    request: &WaitingRequest,
    cached: Option<&Arc<str>>,
) -> Option<Arc<str>> {
    let available_slots =
        |host: &Arc<str>| sidecars.get(host).map_or(0, SidecarView::available_slots);
    let has_slots = |host: &&Arc<str>| available_slots(host) > 0;
    if let Some(host) = cached.filter(has_slots)
        && request.hosts.binary_search(host).is_ok()
    {
        return Some(host.clone());
    }
    let most = request
        .hosts
        .iter()
        .filter(has_slots)
        .map(available_slots)
        .max()?;
    let emptiest: Vec<&Arc<str>> = request
        .hosts
        .iter()
        .filter(has_slots)
        .filter(|host| available_slots(host) == most)
        .collect();
    // Request ids are consecutive, so this is a round robin over the emptiest sidecars.
    let index = request.id as usize % emptiest.len();
    Some(emptiest[index].clone())
}
