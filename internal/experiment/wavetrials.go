package experiment

func waveTrials(Deployment) []trial { return nil }
