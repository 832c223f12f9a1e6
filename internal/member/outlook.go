package member

// ownOutlook returns this process's outlook for new jobs if it leads, else nil.
func (n *Node) ownOutlook() []byte {
	if n.config.Outlook == nil {
		return nil
	}
	return n.config.Outlook()
}

// leaderToken returns the token of the last known leader.
func (n *Node) leaderToken() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.claim.Token
}
