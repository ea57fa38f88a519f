package experiment

func writePlots(directory string, results []Result) error { return nil }
