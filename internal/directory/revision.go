package directory

import "fmt"

// A store that comes back from an older copy has lost what was written since, and gives its revisions out again for other writes.
// It then begins a new era. A Directory orders what it knows of the store by revisions that contain the era, so that all that is of
// a former era is older than anything of a later one.

const (
	// revisionBits is how many bits of a revision with an era are the store's own. The era is in the bits above, below eraFlag.
	revisionBits = 44
	// eraFlag is set in revisions with an era.
	eraFlag = int64(1) << 62

	maxStoreRevision = int64(1)<<revisionBits - 1
	maxEra           = eraFlag>>revisionBits - 1
)

// RevisionInEra returns a store's revision with its era. A store that names no era has era 0, and its revisions stay as they are.
func RevisionInEra(era, revision int64) (int64, error) {
	switch {
	case era == 0 && revision < eraFlag:
		return revision, nil
	case era <= 0 || era > maxEra || revision < 0 || revision > maxStoreRevision:
		return 0, fmt.Errorf("revision %d in era %d of the store is out of range", revision, era)
	}
	return eraFlag | era<<revisionBits | revision, nil
}

// EraOf returns the era of a revision; 0 if the store names none.
func EraOf(revision int64) int64 {
	if revision < eraFlag {
		return 0
	}
	return (revision &^ eraFlag) >> revisionBits
}

// StoreRevision returns a revision as the store numbers it.
func StoreRevision(revision int64) int64 {
	if EraOf(revision) == 0 {
		return revision
	}
	return revision & maxStoreRevision
}

// inEraOf returns a revision that another host names, with the era of one that this host knows if it has none: hosts of earlier
// builds send revisions without an era.
func inEraOf(known, revision int64) int64 {
	if EraOf(revision) > 0 || EraOf(known) == 0 || revision == 0 {
		return revision
	}
	if lifted, err := RevisionInEra(EraOf(known), revision); err == nil {
		return lifted
	}
	return revision
}
