"""What hosts share: tables they follow, loads and evidence they tell."""
