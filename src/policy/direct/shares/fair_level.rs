/// The level L of a max-min fair division: every account gets the lesser of what it requests and
/// L, and together they get `capacity`. Infinite if the capacity is enough for all requests.
pub fn fair_level(
    mut requested: Vec<f32>,
    capacity: f32,
) -> f32 {
    requested.sort_by(f32::total_cmp);
    let mut remaining = capacity;
    let mut accounts = requested.len() as f32;
    for request in requested {
        let even = remaining / accounts;
        if request > even {
            return even.max(0.0);
        }
        remaining -= request;
        accounts -= 1.0;
    }
    f32::INFINITY
}
