/// Resident memory of a process, in bytes.
pub fn resident_bytes(process: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.expect("a running process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    let kilobytes: usize = kilobytes.expect("a size").parse().expect("a number");
    kilobytes << 10
}
