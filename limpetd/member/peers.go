package member

// reachablePeers returns the daemons whose state has been received and that are
// neither leaving nor suspected.
func reachablePeers(daemons []Daemon) []Peer {
	peers := make([]Peer, 0, len(daemons))
	for _, d := range daemons {
		if d.Instance != "" && !d.Leaving && !d.Suspect {
			peers = append(peers, peerOf(d))
		}
	}
	return peers
}

// peerOf converts a daemon's state to the form for other packages.
func peerOf(d Daemon) Peer {
	return Peer{
		VM: d.VM, Instance: d.Instance, DataCentre: d.DataCentre, Region: d.Region, Address: d.Address,
		Revision: d.Revision, Digest: d.Digest, Level: d.Level, Refused: d.Refused,
		Leaving: d.Leaving, Ready: d.Ready, Suspect: d.Suspect,
	}
}

// countActive returns the number of daemons that are neither leaving nor suspected,
// including this one, but at least 1.
func (v *view) countActive() int {
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
