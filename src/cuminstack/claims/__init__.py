"""Write-once claims of jobs on a majority of replicas."""
