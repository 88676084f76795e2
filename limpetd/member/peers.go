package member

// reachable returns the daemons that were heard of, do not leave and are not
// suspected.
func reachable(daemons []Daemon) []Peer {
	peers := make([]Peer, 0, len(daemons))
	for _, d := range daemons {
		if d.Instance != "" && !d.Leaving && !d.Suspect {
			peers = append(peers, peerOf(d))
		}
	}
	return peers
}

// peerOf returns a daemon as others in this process see it.
func peerOf(d Daemon) Peer {
	return Peer{
		VM: d.VM, Instance: d.Instance, DataCentre: d.DataCentre, Region: d.Region, Address: d.Address,
		Revision: d.Revision, Digest: d.Digest, Level: d.Level, Refused: d.Refused,
		Leaving: d.Leaving, Ready: d.Ready, Suspect: d.Suspect,
	}
}

// live returns the number of daemons that take work, with this one.
func (v *view) live() int {
	n := 0
	for _, d := range v.peers() {
		if !d.Leaving && !d.Suspect {
			n++
		}
	}
	if !v.self.Leaving {
		n++
	}
	return max(n, 1)
}
