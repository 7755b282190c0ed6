package experiment

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"go.etcd.io/bbolt"

	"starlingusher/internal/boltfile"
	"starlingusher/lab/days"
)

// Store keeps outcomes in a file, so that an experiment which was killed goes on where it was. An outcome is found again by
// the program that played it, the day's file and the seed: with another build nothing is taken over. It may be used by many
// goroutines at a time.
type Store struct {
	file  *boltfile.File
	build string
}

// Open opens or makes a store for what this program plays.
func Open(path string) (*Store, error) {
	build, err := program()
	if err != nil {
		return nil, err
	}
	f, err := boltfile.Open(path, false, func(*bbolt.Tx) error { return nil })
	if err != nil {
		return nil, err
	}
	return &Store{f, build}, nil
}

// Close gives the file back.
func (s *Store) Close() error {
	if s == nil {
		return nil
	}
	return s.file.Close()
}

// program is a sum over the running program.
func program() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("the program's own file: %w", err)
	}
	f, err := os.Open(path)
	if err != nil {
		return "", fmt.Errorf("the program's own file: %w", err)
	}
	defer f.Close()
	sum := sha256.New()
	if _, err := io.Copy(sum, f); err != nil {
		return "", fmt.Errorf("the program's own file: %w", err)
	}
	return hex.EncodeToString(sum.Sum(nil)), nil
}

// armKey is what an arm's outcomes are kept under, beside the program.
func armKey(a Arm) (string, error) {
	text, err := a.Spec.Text()
	if err != nil {
		return "", fmt.Errorf("%s: %w", a.Name, err)
	}
	sum := sha256.New()
	sum.Write(text)
	fmt.Fprint(sum, a.Spec.Tuned())
	if a.Play != nil {
		fmt.Fprint(sum, a.Name)
	}
	return hex.EncodeToString(sum.Sum(nil)), nil
}

func (s *Store) get(key string, seed uint64) (o days.Outcome, ok bool, err error) {
	if s == nil {
		return o, false, nil
	}
	err = s.file.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket([]byte(s.build + key))
		if b == nil {
			return nil
		}
		v := b.Get(binary.BigEndian.AppendUint64(nil, seed))
		if ok = v != nil; !ok {
			return nil
		}
		return json.Unmarshal(v, &o)
	})
	return o, ok, err
}

func (s *Store) put(key string, o days.Outcome) error {
	if s == nil {
		return nil
	}
	return s.file.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists([]byte(s.build + key))
		if err != nil {
			return err
		}
		v, err := json.Marshal(o)
		if err != nil {
			return err
		}
		return b.Put(binary.BigEndian.AppendUint64(nil, o.Seed), v)
	})
}
